/**
 * Look-up of kinds of work.
 */
import type { KindManifest, Manifest } from "@lovagepitch/types/manifest";

/**
 * Finds a kind of work.
 *
 * @param manifest - the manifest
 * @param service - name of the service
 * @param kind - name of the kind within the service
 * @returns the kind, or undefined when the manifest has none of that name
 */
export function findKind(manifest: Manifest, service: string, kind: string): KindManifest | undefined {
    return manifest.services.find(candidate => candidate.name === service)
        ?.kinds.find(candidate => candidate.name === kind);
}
