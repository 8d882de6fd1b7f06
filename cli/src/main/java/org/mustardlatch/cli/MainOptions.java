package org.mustardlatch.cli;

import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** The global options and the command of a command line. */
final class MainOptions {
  @Option(name = "--help", aliases = "-h", help = true, usage = "print this help")
  boolean help;

  @Option(name = "--version", help = true, usage = "print the version")
  boolean version;

  @Argument(handler = SubCommandHandler.class, metaVar = "COMMAND")
  @SubCommands({
    @SubCommand(name = "manifest", impl = ManifestCommand.class),
    @SubCommand(name = "status", impl = DocumentCommand.Status.class),
    @SubCommand(name = "dump", impl = DocumentCommand.Dump.class),
    @SubCommand(name = "drain", impl = DrainCommand.class),
    @SubCommand(name = "explain", impl = DocumentCommand.Explain.class)
  })
  @Nullable Command command;
}
