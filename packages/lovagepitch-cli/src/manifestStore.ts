/**
 * The accepted manifest, as the commands see it.
 */
import type { Manifest, VersionedManifest } from "@lovagepitch/types/manifest";
import type { Result } from "@lovagepitch/utils/result";
import type { CommandFailure } from "./exitCode.js";

/** A manifest to be accepted. */
export interface ManifestProposal {
    /** Version that the change was made from; 0 for the first manifest. */
    readonly baseVersion: number;
    readonly manifest: Manifest;
    readonly digest: string;
    readonly appliedBy: string;
}

/** Where manifests are accepted. */
export abstract class ManifestStore {
    /**
     * Reads the newest accepted manifest.
     *
     * @returns the manifest, undefined when none was accepted yet, or the failure
     */
    public abstract read(): Promise<Result<VersionedManifest | undefined, CommandFailure>>;

    /**
     * Accepts a manifest if its base version is the newest; applying the same again is safe.
     *
     * @param proposal - the manifest
     * @returns the accepted manifest, or the failure, which names the winner of a conflict
     */
    public abstract apply(proposal: ManifestProposal): Promise<Result<VersionedManifest, CommandFailure>>;
}
