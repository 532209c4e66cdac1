/**
 * Loading of manifests from files.
 */
import type { Manifest } from "@lovagepitch/types/manifest";
import type { Result } from "@lovagepitch/utils/result";
import type { ConfigurationError } from "./configurationError.js";
import { loadDocument } from "./loadDocument.js";
import { manifestSchema } from "./manifestSchema.js";
import { findManifestIssues } from "./validateManifest.js";

/**
 * Parses and validates a manifest.
 *
 * @param text - JSON with comments
 * @param fileName - name of the file, for error messages
 * @returns the manifest, or an error that names file, line, column, path and remedy
 */
export function loadManifest(text: string, fileName: string): Result<Manifest, ConfigurationError> {
    return loadDocument<Manifest>(text, fileName, manifestSchema, findManifestIssues);
}
