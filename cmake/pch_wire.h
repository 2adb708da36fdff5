#include <string>
#include <vector>
#include <zmq.hpp>
