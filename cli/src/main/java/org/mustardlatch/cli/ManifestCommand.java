package org.mustardlatch.cli;

import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** The {@code manifest} group of commands. */
public final class ManifestCommand implements Command {
  @Argument(required = true, handler = SubCommandHandler.class, metaVar = "check|publish|diff")
  @SubCommands({
    @SubCommand(name = "check", impl = ManifestCheckCommand.class),
    @SubCommand(name = "publish", impl = ManifestPublishCommand.class),
    @SubCommand(name = "diff", impl = ManifestDiffCommand.class)
  })
  @Nullable Command command;

  @Override
  public int run(Console console) {
    return command == null ? ExitCode.USAGE : command.run(console);
  }
}
