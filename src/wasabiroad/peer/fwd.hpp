#pragma once

namespace wasabiroad::peer {

class Membership;
class Node;
class Transport;
struct Envelope;
struct Heartbeat;

} // namespace wasabiroad::peer
