/**
 * Digests of manifests.
 */
import type { Manifest } from "@lovagepitch/types/manifest";
import { digestJson } from "@lovagepitch/utils/digest";

/**
 * Digests a manifest's content; comments, spacing and the order of keys do not affect the digest.
 *
 * @param manifest - content of the manifest, as parsed from its document
 * @returns a SHA-256 digest in base64url
 */
export function digestManifest(manifest: Manifest): string {
    return digestJson(manifest);
}
