"""Tests the soak's check of evacuations with forged histories: a check that finds nothing would let every soak pass."""
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))
# pylint: disable=wrong-import-position
from soak_evacuations import Period
from soak_oracle import check_evacuations

DATA_CENTRES = {"worker-0": "here", "worker-1": "there"}


def find_broken(began_ms, worker="worker-0", delayed_since_ms=None, periods=None):
    run = {"job": "1", "task": "0.0.0", "attempt": 1, "worker": worker, "beganMs": began_ms}
    if delayed_since_ms is not None:
        run["delayedSinceMs"] = delayed_since_ms
    return check_evacuations(periods or [Period("here", 1000, 20000)], DATA_CENTRES, [run])


class CheckEvacuations(unittest.TestCase):
    def test_finds_a_start_later_than_the_bound(self):
        self.assertEqual(len(find_broken(6001)), 1)
        self.assertEqual(len(find_broken(19999)), 1)

    def test_accepts_a_start_within_the_bound_or_after_the_withdrawal(self):
        for began_ms in (999, 6000, 20000):
            self.assertEqual(find_broken(began_ms), [])

    def test_accepts_a_start_in_another_data_centre(self):
        self.assertEqual(find_broken(7000, worker="worker-1"), [])

    def test_finds_a_start_under_a_request_that_was_not_withdrawn(self):
        self.assertEqual(len(find_broken(90000, periods=[Period("here", 1000)])), 1)

    def test_grants_a_renewed_request_a_bound_of_its_own(self):
        periods = [Period("here", 1000, 7000), Period("here", 7500, 20000)]
        self.assertEqual(find_broken(12000, periods=periods), [])
        self.assertEqual(len(find_broken(12600, periods=periods)), 1)
        self.assertEqual(len(find_broken(6500, periods=periods)), 1)

    def test_exempts_a_late_execution_only_if_it_was_sent_within_the_bound(self):
        self.assertEqual(find_broken(9000, delayed_since_ms=5900), [])
        self.assertEqual(len(find_broken(9000, delayed_since_ms=6100)), 1)
        # Sent while the request was in force, and executed after its withdrawal.
        self.assertEqual(len(find_broken(21000, delayed_since_ms=15000)), 1)


if __name__ == "__main__":
    unittest.main()
