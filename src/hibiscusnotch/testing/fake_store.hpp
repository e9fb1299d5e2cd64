/// @file
/// @brief An object store whose replies are given by the test.
#pragma once

#include "hibiscusnotch/store/object_store.hpp"

#include <optional>
#include <string>
#include <vector>

namespace hibiscusnotch::testing {

class FakeStore : public store::ObjectStore
{
public:
  struct ListCall
  {
    std::string kind;
    std::string after;
    store::ReplyCallback<store::ListPage> reply;
  };
  struct WatchCall
  {
    std::string kind;
    store::StoreVersion since;
    core::Duration wait{ 0 };
    store::ReplyCallback<store::ChangeBatch> reply;
  };
  struct ObjectCall
  {
    std::string verb;
    std::string kind;
    store::Object object;
    store::ReplyCallback<store::Object> reply;
  };

  void List(const std::string& aKind,
            const std::string& aAfter,
            store::ReplyCallback<store::ListPage> aReply) override
  {
    lists.push_back({ aKind, aAfter, std::move(aReply) });
  }
  void Watch(const std::string& aKind,
             store::StoreVersion aSince,
             core::Duration aWait,
             store::ReplyCallback<store::ChangeBatch> aReply) override
  {
    watches.push_back({ aKind, aSince, aWait, std::move(aReply) });
  }
  void Get(const std::string& aKind,
           const std::string& aName,
           store::ReplyCallback<store::Object> aReply) override
  {
    store::Object object;
    object.name = aName;
    Record("get", aKind, object, std::move(aReply));
  }
  void Create(const std::string& aKind,
              const store::Object& aObject,
              store::ReplyCallback<store::Object> aReply) override
  {
    Record("create", aKind, aObject, std::move(aReply));
  }
  void PutStatus(const std::string& aKind,
                 const store::Object& aObject,
                 store::ReplyCallback<store::Object> aReply) override
  {
    Record("status", aKind, aObject, std::move(aReply));
  }
  void Delete(const std::string& aKind,
              const std::string& aName,
              store::ReplyCallback<store::Object> aReply) override
  {
    store::Object object;
    object.name = aName;
    Record("delete", aKind, object, std::move(aReply));
  }
  uint64_t CallCount() const override
  {
    return lists.size() + watches.size() + objects.size();
  }

  void AnswerList(std::size_t aIndex,
                  std::vector<store::Object> aItems,
                  uint64_t aAsOf,
                  bool aMore = false)
  {
    store::ListPage page;
    page.items = std::move(aItems);
    page.asOf = { era, aAsOf };
    page.more = aMore;
    const auto reply = lists.at(aIndex).reply;
    reply(std::move(page), store::StoreError::None);
  }
  void AnswerWatch(std::size_t aIndex,
                   std::vector<store::Change> aChanges,
                   uint64_t aAsOf)
  {
    store::ChangeBatch batch;
    batch.changes = std::move(aChanges);
    batch.asOf = { era, aAsOf };
    batch.restoreTimeLeft = restoreTimeLeft;
    const auto reply = watches.at(aIndex).reply;
    reply(std::move(batch), store::StoreError::None);
  }
  void FailWatch(std::size_t aIndex, store::StoreError aError)
  {
    const auto reply = watches.at(aIndex).reply;
    reply(std::nullopt, aError);
  }

  uint64_t Era() const override { return era; }

  uint64_t era = 0;                     ///< Of all responses.
  store::Duration restoreTimeLeft{ 0 }; ///< Stated with each batch.
  std::vector<ListCall> lists;
  std::vector<WatchCall> watches;
  std::vector<ObjectCall> objects;

private:
  void Record(const std::string& aVerb,
              const std::string& aKind,
              const store::Object& aObject,
              store::ReplyCallback<store::Object> aReply)
  {
    objects.push_back({ aVerb, aKind, aObject, std::move(aReply) });
  }
};

/// @brief An object with a name and a revision.
inline store::Object
MakeObject(const std::string& aName, uint64_t aRevision)
{
  store::Object object;
  object.name = aName;
  object.revision = aRevision;
  object.creationRevision = aRevision;
  return object;
}

} // namespace hibiscusnotch::testing
