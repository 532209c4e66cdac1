/**
 * Lookup of kinds of work in a manifest.
 */
import type { KindManifest, Manifest } from "@lovagepitch/types/manifest";

/**
 * Finds a kind of work.
 *
 * @param manifest - the manifest to search
 * @param service - name of the service
 * @param kind - name of the kind within the service
 * @returns the kind, or undefined when the manifest does not declare it
 */
export function findKind(manifest: Manifest, service: string, kind: string): KindManifest | undefined {
    return manifest.services.find(candidate => candidate.name === service)
        ?.kinds.find(candidate => candidate.name === kind);
}
