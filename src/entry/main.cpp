#include "entry_process.h"

int
main()
{
  return 0;
}
