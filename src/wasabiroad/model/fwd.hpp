#pragma once

namespace wasabiroad::model {

struct Manifest;
struct Operation;
struct Pool;
struct Request;
struct RoutingSnapshot;
struct Service;
struct Team;
struct Vm;
struct Wave;

} // namespace wasabiroad::model
