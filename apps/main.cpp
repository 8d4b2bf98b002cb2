#include "apps/commands.h"

#include <iostream>

int main(int inCount, char **inArguments)
{
    return corneltally::apps::runProgram({inArguments + 1, inArguments + inCount},
                                         {std::cout, std::cerr});
}
