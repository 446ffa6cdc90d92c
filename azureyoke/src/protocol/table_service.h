#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "azureyoke/src/protocol/error.h"
#include "azureyoke/src/transport/http_client.h"

namespace azureyoke::protocol {

/// \brief A row of the platform's table.
struct table_row {
    std::string name;
    std::int64_t version = 0; ///< Increases with each write; 0 for an absent row.
    std::string value;

    friend bool operator==(const table_row&, const table_row&) = default;
};

/// \brief The platform's transactional table.
///
/// A write is conditional on the version read before. After `errc::conflict` nothing was written;
/// after an error with `effect_unknown` the write may have taken effect. Callbacks are called from
/// the event loop, never from inside the call.
class table_service {
public:
    virtual ~table_service() = default;
    virtual void read(const std::string& row, std::function<void(result<table_row>)> done) = 0;
    virtual void list(const std::string& prefix,
                      std::function<void(result<std::vector<table_row>>)> done) = 0;
    virtual void write(const std::string& row, std::int64_t expected_version,
                       const std::string& value,
                       std::function<void(result<std::int64_t>)> done) = 0;
};

/// \brief The platform's object store.
class object_service {
public:
    virtual ~object_service() = default;
    virtual void put(const std::string& name, const std::string& body,
                     std::function<void(result<void>)> done) = 0;
    virtual void get(const std::string& name, std::function<void(result<std::string>)> done) = 0;
    virtual void names(const std::string& prefix,
                       std::function<void(result<std::vector<std::string>>)> done) = 0;
};

/// \brief An instance in the platform's list, which lags behind the actual state.
struct listed_instance {
    std::string name;
    std::string data_centre;
    std::string peer_address;
    bool leaving = false;

    friend bool operator==(const listed_instance&, const listed_instance&) = default;
};

/// \brief The platform's list of live and leaving instances.
class instance_list {
public:
    virtual ~instance_list() = default;
    virtual void fetch(std::function<void(result<std::vector<listed_instance>>)> done) = 0;
};

/// \brief HTTP client of the platform's services.
class http_platform : public table_service, public object_service, public instance_list {
public:
    http_platform(transport::http_client& client, transport::address at);

    void read(const std::string& row, std::function<void(result<table_row>)> done) override;
    void list(const std::string& prefix,
              std::function<void(result<std::vector<table_row>>)> done) override;
    void write(const std::string& row, std::int64_t expected_version, const std::string& value,
               std::function<void(result<std::int64_t>)> done) override;
    void put(const std::string& name, const std::string& body,
             std::function<void(result<void>)> done) override;
    void get(const std::string& name, std::function<void(result<std::string>)> done) override;
    void names(const std::string& prefix,
               std::function<void(result<std::vector<std::string>>)> done) override;
    void fetch(std::function<void(result<std::vector<listed_instance>>)> done) override;

private:
    void call(const transport::http_request& request,
              std::function<void(result<transport::http_response>)> done);

    transport::http_client& client_;
    transport::address at_;
};

} // namespace azureyoke::protocol
