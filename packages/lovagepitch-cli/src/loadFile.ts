/**
 * Loads and validates the files that commands take as arguments.
 */
import type { ConfigurationError } from "@lovagepitch/configuration/configurationError";
import { loadOperatorSettings } from "@lovagepitch/configuration/loadOperatorSettings";
import type { OperatorSettings } from "@lovagepitch/types/settings";
import type { Result } from "@lovagepitch/utils/result";
import type { CommandEnvironment } from "./commandEnvironment.js";
import { CommandFailure, exitCodes } from "./exitCode.js";

/**
 * Reads and validates a file.
 *
 * @param environment - access to files
 * @param fileName - name of the file; `-` reads standard input
 * @param load - parses and validates the content
 * @returns the document, or a failure that names the file, the line and the remedy
 */
export async function loadFile<Document>(
    environment: CommandEnvironment,
    fileName: string,
    load: (text: string, fileName: string) => Result<Document, ConfigurationError>,
): Promise<Result<Document, CommandFailure>> {
    const text = await environment.readText(fileName);
    const displayName = fileName === "-" ? "standard input" : fileName;
    return text.andThen(content =>
        load(content, displayName).mapErr(error => new CommandFailure(exitCodes.refused, error.message))
    );
}

/**
 * Reads and validates the operator's settings.
 *
 * @param environment - access to files
 * @param fileName - name of the file
 * @returns the settings, or a failure that names the file, the line and the remedy
 */
export async function loadSettingsFile(
    environment: CommandEnvironment,
    fileName: string,
): Promise<Result<OperatorSettings, CommandFailure>> {
    return loadFile(environment, fileName, loadOperatorSettings);
}
