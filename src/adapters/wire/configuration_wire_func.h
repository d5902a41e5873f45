// Conversion of configuration objects to and from Thrift. The fromWire functions record
// fields without a valid value in the fault.
#pragma once

#include "adapters/wire/wire_fault_base.h"
#include "configuration/configuration_type.h"
#include "mangohall_types.h"

namespace mangohall {

wire::Organisation toWire(const Organisation& from);
Organisation fromWire(const wire::Organisation& from, WireFault& fault);

wire::Guarantee toWire(const Guarantee& from);
Guarantee fromWire(const wire::Guarantee& from, WireFault& fault);

wire::Service toWire(const Service& from);
Service fromWire(const wire::Service& from, WireFault& fault);

wire::Drain toWire(const Drain& from);
Drain fromWire(const wire::Drain& from, WireFault& fault);

wire::Policy toWire(const Policy& from);
Policy fromWire(const wire::Policy& from, WireFault& fault);

wire::ShardSpec toWire(const ShardSpec& from);
ShardSpec fromWire(const wire::ShardSpec& from, WireFault& fault);

wire::ConfigObject toWire(const ConfigObject& from);
ConfigObject fromWire(const wire::ConfigObject& from, WireFault& fault);

wire::ConfigSpec toWire(const ConfigSpec& from);
ConfigSpec fromWire(const wire::ConfigSpec& from, WireFault& fault);

} // namespace mangohall
