package org.cowsliplatch.pgm;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/** All subcommands by name. */
final class Commands {
    private static final List<Supplier<Subcommand>> ALL = List.of(
            EntryCommand::new,
            ServeCommand::new,
            TablesCheck::new,
            TablesShow::new,
            TablesDiffCommand::new,
            TablesApply::new,
            TablesEdit::new,
            TablesHistory::new,
            TablesStatus::new,
            LookupCommand::new,
            StatusCommand::new,
            DrainCommand::new,
            SettingsCheckCommand::new,
            ExplainCommand::new,
            DemoCommand::new,
            VersionCommand::new);

    private Commands() {}

    /** Returns fresh subcommands by name. */
    static Map<String, Subcommand> byName() {
        Map<String, Subcommand> commands = new TreeMap<>();
        for (Supplier<Subcommand> supplier : ALL) {
            Subcommand command = supplier.get();
            commands.put(command.name(), command);
        }
        return commands;
    }

    /** Returns the names in the order of the help text. */
    static List<String> names() {
        List<String> names = new ArrayList<>();
        for (Supplier<Subcommand> supplier : ALL) {
            names.add(supplier.get().name());
        }
        return names;
    }
}
