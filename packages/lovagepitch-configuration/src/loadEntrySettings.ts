/**
 * Loading of an entry's settings.
 */
import type { EntrySettings } from "@lovagepitch/types/settings";
import type { Result } from "@lovagepitch/utils/result";
import type { ConfigurationError } from "./configurationError.js";
import { entrySettingsSchema } from "./entrySettingsSchema.js";
import { loadDocument } from "./loadDocument.js";

/**
 * Parses and validates an entry's settings.
 *
 * @param text - JSON with comments
 * @param fileName - name of the file, for error messages
 * @returns the settings with their defaults, or an error that names file, line, column, path and remedy
 */
export function loadEntrySettings(text: string, fileName: string): Result<EntrySettings, ConfigurationError> {
    return loadDocument<EntrySettings>(text, fileName, entrySettingsSchema);
}
