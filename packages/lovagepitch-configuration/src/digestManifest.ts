/**
 * Digests of manifests.
 */
import type { Manifest } from "@lovagepitch/types/manifest";
import { digestJson } from "@lovagepitch/utils/digest";

/**
 * Digests a manifest's content; comments, spacing and the order of keys do not affect the digest.
 *
 * @param manifest - the manifest
 * @returns a SHA-256 digest in base64url
 */
export function digestManifest(manifest: Manifest): string {
    return digestJson(manifest);
}
