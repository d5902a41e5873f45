// An HTTP request in the form that routing uses, independent of the HTTP library.
#pragma once

#include <string>
#include <vector>

namespace mangohall {

// One header of a request.
struct ApiHeader {
    std::string name;
    std::string value;
};

// A complete request.
struct ApiRequest {
    std::string method;
    // Request target as received: path and query, still percent-encoded.
    std::string target;
    std::vector<ApiHeader> headers;
    std::string body;
};

// One parameter of a query, decoded.
struct QueryParameter {
    std::string name;
    std::string value;
};

// A parsed and decoded request target.
struct ApiTarget {
    // Path segments, without the slashes.
    std::vector<std::string> segments;
    // Query parameters in the order received; every name occurs once.
    std::vector<QueryParameter> parameters;
};

} // namespace mangohall
