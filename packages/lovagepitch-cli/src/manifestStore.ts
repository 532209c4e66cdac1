/**
 * Access to the accepted manifest for commands.
 */
import type { Manifest, VersionedManifest } from "@lovagepitch/types/manifest";
import type { Result } from "@lovagepitch/utils/result";
import type { CommandFailure } from "./exitCode.js";

/** A manifest that an operator applies. */
export interface ManifestProposal {
    /** Version that the change was made from; 0 for the first manifest. */
    readonly baseVersion: number;
    readonly manifest: Manifest;
    readonly digest: string;
    readonly appliedBy: string;
}

/** Reads and replaces the accepted manifest. */
export abstract class ManifestStore {
    /**
     * Reads the newest accepted manifest.
     *
     * @returns the manifest with its version, undefined when none has been accepted yet, or the failure
     */
    public abstract read(): Promise<Result<VersionedManifest | undefined, CommandFailure>>;

    /**
     * Accepts a manifest if its base version is the newest version. Applying the same manifest again is idempotent.
     *
     * @param proposal - the manifest and the version that it is based on
     * @returns the accepted manifest, or the failure; on a conflict it names the current version and its operator
     */
    public abstract apply(proposal: ManifestProposal): Promise<Result<VersionedManifest, CommandFailure>>;
}
