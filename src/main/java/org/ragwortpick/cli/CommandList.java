package org.ragwortpick.cli;

import java.io.PrintStream;
import java.lang.reflect.Field;
import java.util.Arrays;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommands;

/** Prints the list of sub-commands. */
final class CommandList {

  private CommandList() {}

  /**
   * Prints one line per sub-command and the exit codes.
   *
   * @param out stream for the list
   */
  static void print(PrintStream out) {
    out.println("usage: ragwortpick COMMAND [--help] [options]");
    out.println();
    Arrays.stream(Main.class.getDeclaredFields())
        .filter(field -> field.isAnnotationPresent(SubCommands.class))
        .map(CommandList::subCommands)
        .flatMap(Arrays::stream)
        .forEach(subCommand -> printLine(out, subCommand));
    out.println();
    out.println(
        "exit codes: 0 done, 1 refused or failed, 2 wrong command line, 3 wrong file, "
            + "4 no response, 70 internal error");
  }

  private static SubCommand[] subCommands(Field field) {
    return field.getAnnotation(SubCommands.class).value();
  }

  private static void printLine(PrintStream out, SubCommand subCommand) {
    out.printf("  %-16s %s%n", subCommand.name(), descriptionOf(subCommand));
  }

  private static String descriptionOf(SubCommand subCommand) {
    try {
      Command command = (Command) subCommand.impl().getDeclaredConstructor().newInstance();
      return command.description();
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(
          "command " + subCommand.name() + " has no usable default constructor", e);
    }
  }
}
