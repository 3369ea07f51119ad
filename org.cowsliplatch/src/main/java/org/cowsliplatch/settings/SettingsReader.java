package org.cowsliplatch.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cowsliplatch.errors.SettingsInvalidException;
import org.cowsliplatch.internal.settings.DeploymentCheck;
import org.cowsliplatch.internal.settings.SettingsCheck;

/** Reads settings files, which are JSON with comments. */
public final class SettingsReader {
    private SettingsReader() {}

    /**
     * Reads and validates a settings file as a whole.
     *
     * @param file path of the file; relative paths in it are resolved against its directory
     * @throws SettingsInvalidException if the file can't be read or breaks any rule; lists every problem
     */
    public static Settings read(Path file) throws SettingsInvalidException {
        return parse(text(file), file);
    }

    private static String text(Path file) throws SettingsInvalidException {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new SettingsInvalidException(
                    List.of(file + ": can't be read (" + e.getMessage() + "); check the path and its permissions"));
        }
    }

    /**
     * Reads and validates the settings file of an entry instance on a platform with a row store.
     *
     * @param file path of the file
     * @param assignments values that replace those of the file, such as {@code bounds.leavingSeconds=2.5}
     * @throws SettingsInvalidException if the file can't be read or breaks any rule; lists every problem
     */
    public static DeploymentSettings readDeployment(Path file, List<String> assignments)
            throws SettingsInvalidException {
        return DeploymentCheck.parse(text(file), file, assignments);
    }

    /**
     * Parses and validates settings as a whole.
     *
     * @param text content of the file
     * @param file path for messages; relative paths in the settings are resolved against its directory
     * @throws SettingsInvalidException if any rule is broken; lists every problem
     */
    public static Settings parse(String text, Path file) throws SettingsInvalidException {
        return SettingsCheck.parse(text, file);
    }
}
