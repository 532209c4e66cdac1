/**
 * Loading of documents for commands.
 */
import type { ConfigurationError } from "@lovagepitch/configuration/configurationError";
import { loadOperatorSettings } from "@lovagepitch/configuration/loadOperatorSettings";
import type { OperatorSettings } from "@lovagepitch/types/settings";
import type { Result } from "@lovagepitch/utils/result";
import type { CommandEnvironment } from "./commandEnvironment.js";
import { CommandFailure, exitCodes } from "./exitCode.js";

/**
 * Reads and checks a file.
 *
 * @param environment - reads the file
 * @param fileName - name of the file; `-` reads standard input
 * @param load - checks the text
 * @returns the document, or a failure that names file, line and remedy
 */
export async function loadFile<Document>(
    environment: CommandEnvironment,
    fileName: string,
    load: (text: string, fileName: string) => Result<Document, ConfigurationError>,
): Promise<Result<Document, CommandFailure>> {
    const text = await environment.readText(fileName);
    const shownName = fileName === "-" ? "standard input" : fileName;
    return text.andThen(content =>
        load(content, shownName).mapErr(error => new CommandFailure(exitCodes.refused, error.message))
    );
}

/**
 * Reads and checks the operator's settings.
 *
 * @param environment - reads the file
 * @param fileName - name of the file
 * @returns the settings, or a failure that names file, line and remedy
 */
export async function loadSettingsFile(
    environment: CommandEnvironment,
    fileName: string,
): Promise<Result<OperatorSettings, CommandFailure>> {
    return loadFile(environment, fileName, loadOperatorSettings);
}
