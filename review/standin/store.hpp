// Stand-in of the platform's metadata store: objects by kind and name, with
// revisions, conditional writes, lists and watches.
#pragma once

#include "net.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>

namespace review {

class Store
{
public:
  using Json = nlohmann::json;

  bool Start(const Address& aAddress)
  {
    return listener.Start(
      aAddress, [this](Connection& aConnection) { Serve(aConnection); });
  }

  /** Writes an object as the operator does. */
  void Put(const std::string& aKind,
           const std::string& aName,
           const Json& aSpec)
  {
    const std::lock_guard lock(mutex);
    Json& object = objects[aKind][aName];
    if (!object.is_object()) {
      object = NewObject(aName);
    }
    object["spec"] = aSpec;
    RecordChange(aKind, object, false);
  }

private:
  struct Change
  {
    long long revision;
    std::string kind;
    Json object;
    bool isDeleted;
  };

  static Json NewObject(const std::string& aName)
  {
    return { { "metadata",
               { { "name", aName },
                 { "created_at", UnixMs() },
                 { "finalizers", Json::array() },
                 { "deletion_requested", false } } },
             { "spec", Json() },
             { "status", Json() } };
  }

  void RecordChange(const std::string& aKind, Json& aObject, bool aIsDeleted)
  {
    aObject["metadata"]["revision"] = ++revision;
    changes.push_back({ revision, aKind, aObject, aIsDeleted });
    changed.notify_all();
  }

  void Serve(Connection& aConnection)
  {
    Message request;
    while (aConnection.Read(request, 60000) == ReadEnd::Whole) {
      const auto [status, body] = Handle(request);
      const std::string text = body.dump();
      if (!aConnection.Send("HTTP/1.1 " + std::to_string(status) +
                            " Status\r\nContent-Type: application/json\r\n"
                            "Content-Length: " +
                            std::to_string(text.size()) + "\r\n\r\n" + text)) {
        return;
      }
    }
  }

  static std::string Decode(const std::string& aText)
  {
    std::string decoded;
    for (std::size_t i = 0; i < aText.size(); ++i) {
      if (aText[i] == '%' && i + 2 < aText.size()) {
        decoded += static_cast<char>(
          std::strtol(aText.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        decoded += aText[i];
      }
    }
    return decoded;
  }

  static std::string QueryValue(const std::string& aTarget,
                                const std::string& aName)
  {
    auto begin = aTarget.find('?');
    while (begin != std::string::npos && begin + 1 < aTarget.size()) {
      const auto end = aTarget.find('&', begin + 1);
      const std::string pair = aTarget.substr(begin + 1, end - begin - 1);
      if (pair.rfind(aName + "=", 0) == 0) {
        return Decode(pair.substr(aName.size() + 1));
      }
      begin = end;
    }
    return {};
  }

  std::pair<int, Json> Handle(const Message& aRequest)
  {
    const std::string prefix = "/api/objects/";
    const std::string target = aRequest.Target();
    std::string path = target.substr(0, target.find('?'));
    if (path.rfind(prefix, 0) != 0) {
      return { 404, Json::object() };
    }
    path = path.substr(prefix.size());
    const auto slash = path.find('/');
    const std::string kind = Decode(path.substr(0, slash));
    std::string name = slash == std::string::npos
                         ? std::string()
                         : Decode(path.substr(slash + 1));
    const Json body = Json::parse(aRequest.body, nullptr, false);
    std::unique_lock lock(mutex);
    if (aRequest.Method() == "GET" && name.empty()) {
      const std::string since = QueryValue(target, "watch");
      return since.empty()
               ? List(kind, QueryValue(target, "after"))
               : Watch(lock,
                       kind,
                       std::atoll(since.c_str()),
                       std::atoll(QueryValue(target, "wait_ms").c_str()));
    }
    if (aRequest.Method() == "POST") {
      return Create(kind, body);
    }
    const bool isStatus = name.size() > 7 && name.ends_with("/status");
    if (isStatus) {
      name.resize(name.size() - 7);
    }
    auto& ofKind = objects[kind];
    const auto found = ofKind.find(name);
    if (found == ofKind.end()) {
      return { 404, Json::object() };
    }
    if (aRequest.Method() == "GET") {
      return { 200, found->second };
    }
    std::optional<long long> expected;
    if (body.is_object() && body.contains("metadata") &&
        body["metadata"].contains("revision")) {
      expected = body["metadata"]["revision"].get<long long>();
    } else if (!QueryValue(target, "revision").empty()) {
      expected = std::atoll(QueryValue(target, "revision").c_str());
    }
    if (expected && *expected != found->second["metadata"]["revision"]) {
      return { 409, found->second };
    }
    if (aRequest.Method() == "DELETE") {
      Json removed = found->second;
      ofKind.erase(found);
      RecordChange(kind, removed, true);
      return { 200, removed };
    }
    const char* const field = isStatus ? "status" : "spec";
    const Json value = body.value(field, Json());
    if (found->second[field] != value) {
      found->second[field] = value;
      RecordChange(kind, found->second, false);
    }
    return { 200, found->second };
  }

  std::pair<int, Json> List(const std::string& aKind, const std::string& aAfter)
  {
    Json items = Json::array();
    for (const auto& [name, object] : objects[aKind]) {
      if (name > aAfter) {
        items.push_back(object);
      }
    }
    return {
      200,
      { { "items", items }, { "has_more", false }, { "current_rev", revision } }
    };
  }

  std::pair<int, Json> Watch(std::unique_lock<std::mutex>& aLock,
                             const std::string& aKind,
                             long long aSince,
                             long long aWaitMs)
  {
    Json events = Json::array();
    const auto collect = [&] {
      for (const Change& change : changes) {
        if (change.kind == aKind && change.revision > aSince) {
          events.push_back(
            { { "object", change.object }, { "deleted", change.isDeleted } });
        }
      }
      return !events.empty();
    };
    changed.wait_for(aLock, std::chrono::milliseconds(aWaitMs), collect);
    return { 200, { { "events", events }, { "current_rev", revision } } };
  }

  std::pair<int, Json> Create(const std::string& aKind, const Json& aBody)
  {
    const std::string name = aBody["metadata"]["name"].get<std::string>();
    auto& ofKind = objects[aKind];
    if (const auto found = ofKind.find(name); found != ofKind.end()) {
      return { 409, found->second };
    }
    Json object = NewObject(name);
    object["spec"] = aBody.value("spec", Json());
    RecordChange(aKind, object, false);
    return { 200, ofKind[name] = object };
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, std::map<std::string, Json>> objects;
  std::deque<Change> changes;
  long long revision = 1;
  Listener listener;
};

} // namespace review
