#include "hibiscusnotch/cli/command.hpp"

#include <exception>
#include <iostream>

int
main(int aCount, char** aValues)
{
  try {
    return hibiscusnotch::cli::Run({ aValues + 1, aValues + aCount });
  } catch (const std::exception& aError) {
    std::cerr << "hibiscusnotch: " << aError.what() << '\n';
    return hibiscusnotch::cli::kExitFailed;
  }
}
