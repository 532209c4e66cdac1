/**
 * Loading of the operator's settings.
 */
import type { OperatorSettings } from "@lovagepitch/types/settings";
import type { Result } from "@lovagepitch/utils/result";
import type { ConfigurationError } from "./configurationError.js";
import { loadDocument } from "./loadDocument.js";
import { operatorSettingsSchema } from "./operatorSettingsSchema.js";

/**
 * Parses and validates the operator's settings.
 *
 * @param text - JSON with comments
 * @param fileName - name of the file, for error messages
 * @returns the settings with their defaults, or an error that names file, line, column, path and remedy
 */
export function loadOperatorSettings(text: string, fileName: string): Result<OperatorSettings, ConfigurationError> {
    return loadDocument<OperatorSettings>(text, fileName, operatorSettingsSchema);
}
