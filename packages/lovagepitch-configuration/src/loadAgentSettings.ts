/**
 * Loading of an agent's settings.
 */
import type { AgentSettings } from "@lovagepitch/types/settings";
import type { Result } from "@lovagepitch/utils/result";
import { agentSettingsSchema } from "./agentSettingsSchema.js";
import type { ConfigurationError } from "./configurationError.js";
import { loadDocument } from "./loadDocument.js";

/**
 * Parses and validates an agent's settings.
 *
 * @param text - JSON with comments
 * @param fileName - name of the file, for error messages
 * @returns the settings with their defaults, or an error that names file, line, column, path and remedy
 */
export function loadAgentSettings(text: string, fileName: string): Result<AgentSettings, ConfigurationError> {
    return loadDocument<AgentSettings>(text, fileName, agentSettingsSchema);
}
