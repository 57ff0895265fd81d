/// \file
/// The decision library: all decision logic of the system as state machines
/// without sockets, event loop or clock. They take typed events and the current
/// time and return typed actions. Programs and tests run the same code.
#pragma once

#include "decision/consensus/Consensus.h"
#include "decision/control/ControlCore.h"
#include "decision/proxy/ProxyCore.h"
