#include "wasabiroad/admission/request_list.hpp"

namespace wasabiroad::admission {

void RequestList::pushBack(RequestTable& table, RecordIndex index)
{
    table[index].previous = this->tail;
    table[index].next = noRecord;
    (empty() ? this->head : table[this->tail].next) = index;
    this->tail = index;
}

void RequestList::pushFront(RequestTable& table, RecordIndex index)
{
    table[index].previous = noRecord;
    table[index].next = this->head;
    (empty() ? this->tail : table[this->head].previous) = index;
    this->head = index;
}

void RequestList::erase(RequestTable& table, RecordIndex index)
{
    auto& record = table[index];
    (record.previous == noRecord ? this->head : table[record.previous].next) = record.next;
    (record.next == noRecord ? this->tail : table[record.next].previous) = record.previous;
    record.previous = noRecord;
    record.next = noRecord;
}

} // namespace wasabiroad::admission
