#include "peppertack/coordination/planted_defects.hpp"

namespace peppertack {

#ifdef PEPPERTACK_PLANTED_DEFECTS
planted_defects g_defects;
#endif

} // namespace peppertack
