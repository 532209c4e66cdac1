/**
 * The manifest in the platform's table: one document with a version that never falls.
 */
import type { Manifest, VersionedManifest } from "@lovagepitch/types/manifest";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import { z } from "zod";
import { type AcceptedManifestVersion, ManifestApplyError } from "./manifestApplyError.js";
import type { PlatformError } from "./platformError.js";
import { parseRow } from "./registryRows.js";
import type { RetryPolicy } from "./retryPolicy.js";
import type { ConditionalWrite, TableRow, TableService, WriteCondition } from "./tableService.js";

const manifestPrefix = "manifest/";
const currentKey = `${manifestPrefix}current`;
const historyKey = `${manifestPrefix}history`;
/** Accepted changes that stay known by digest, so that a repeated apply is recognised. */
const historyLength = 50;

const manifestSchema: z.ZodType<VersionedManifest> = z.object({
    version: z.int().min(1),
    manifest: z.looseObject({
        availabilityZones: z.array(z.string()),
        teams: z.array(z.looseObject({ name: z.string() })),
        services: z.array(z.looseObject({ name: z.string() })),
    }).transform(manifest => manifest as unknown as Manifest),
    digest: z.string(),
    appliedBy: z.string(),
});

const historySchema = z.object({
    version: z.int().min(1),
    /** Newest first. */
    accepted: z.array(z.object({ version: z.int(), digest: z.string(), appliedBy: z.string() })).readonly(),
});

type ManifestHistory = z.infer<typeof historySchema>;

/** A manifest that an operator wants accepted. */
export interface ManifestChange {
    /** Version that the operator started from; 0 for the first manifest. */
    readonly baseVersion: number;
    readonly manifest: Manifest;
    /** Digest of the manifest's canonical text. */
    readonly digest: string;
    readonly appliedBy: string;
}

interface StoredManifest {
    readonly current: VersionedManifest | undefined;
    readonly history: ManifestHistory | undefined;
    readonly currentCondition: WriteCondition;
    readonly historyCondition: WriteCondition;
}

/** Reads the manifest and accepts changes of it. */
export class ManifestRepository {
    /**
     * @param table - the platform's table
     * @param retries - how often a change is attempted
     */
    public constructor(private readonly table: TableService, private readonly retries: RetryPolicy) {}

    /**
     * Reads the manifest.
     *
     * @returns the newest accepted manifest, undefined when there is none, or why it could not be read
     */
    public async read(): Promise<Result<VersionedManifest | undefined, PlatformError>> {
        const row = await this.table.read(currentKey);
        return row.andThen(stored => stored === undefined ? Ok(undefined) : parseRow(stored, manifestSchema));
    }

    /**
     * Reads the newest version without the document, for frequent polling.
     *
     * @returns the newest accepted version, 0 when there is none, or why it could not be read
     */
    public async readVersion(): Promise<Result<number, PlatformError>> {
        const row = await this.table.read(historyKey);
        if (row.err) {
            return row;
        }
        if (row.val !== undefined) {
            return parseRow(row.val, historySchema).map(history => history.version);
        }
        const current = await this.read();
        return current.map(manifest => manifest?.version ?? 0);
    }

    /**
     * Accepts a manifest if its base version is still the newest; idempotent by digest on the same base.
     *
     * @param change - the manifest and its base version
     * @returns the accepted manifest, or why it is not known to be accepted
     */
    public async apply(change: ManifestChange): Promise<Result<VersionedManifest, ManifestApplyError>> {
        let mayBeAccepted = false;
        for (let attempt = 0; attempt < this.retries.maximumAttempts; attempt += 1) {
            await this.retries.waitBefore(attempt);
            const stored = await this.readStored();
            if (stored.err) {
                return Err(ManifestApplyError.fromPlatform(stored.val, mayBeAccepted));
            }
            const outcome = evaluateChange(change, stored.val, mayBeAccepted);
            if (outcome !== undefined) {
                return outcome;
            }
            const accepted = createVersionedManifest(change);
            const written = await this.table.write(createWrites(accepted, stored.val));
            if (written.ok) {
                return Ok(accepted);
            }
            if (written.val.kind === "throttled" || written.val.kind === "invalid") {
                return Err(ManifestApplyError.fromPlatform(written.val, mayBeAccepted));
            }
            mayBeAccepted = mayBeAccepted || written.val.kind === "unavailable";
        }
        const message = "The table keeps failing; the manifest may have been accepted, and applying it again is safe";
        return Err(new ManifestApplyError("unavailable", message));
    }

    private async readStored(): Promise<Result<StoredManifest, PlatformError>> {
        const rows = await this.table.list(manifestPrefix);
        if (rows.err) {
            return rows;
        }
        const currentRow = rows.val.find(row => row.key === currentKey);
        const historyRow = rows.val.find(row => row.key === historyKey);
        const current = currentRow === undefined ? Ok(undefined) : parseRow(currentRow, manifestSchema);
        if (current.err) {
            return current;
        }
        const history = historyRow === undefined ? Ok(undefined) : parseRow(historyRow, historySchema);
        if (history.err) {
            return history;
        }
        return Ok({
            current: current.val,
            history: history.val,
            currentCondition: createCondition(currentRow),
            historyCondition: createCondition(historyRow),
        });
    }
}

function createCondition(row: TableRow | undefined): WriteCondition {
    return row === undefined ? { kind: "absent" } : { kind: "etag", etag: row.etag };
}

function createVersionedManifest(change: ManifestChange): VersionedManifest {
    return {
        version: change.baseVersion + 1,
        manifest: change.manifest,
        digest: change.digest,
        appliedBy: change.appliedBy,
    };
}

function createWrites(accepted: VersionedManifest, stored: StoredManifest): readonly ConditionalWrite[] {
    const { version, digest, appliedBy } = accepted;
    const earlier = stored.history?.accepted ?? [];
    const history: ManifestHistory = {
        version,
        accepted: [{ version, digest, appliedBy }, ...earlier].slice(0, historyLength),
    };
    return [
        { key: currentKey, condition: stored.currentCondition, value: accepted },
        { key: historyKey, condition: stored.historyCondition, value: history },
    ];
}

/** Decides a change by what is stored; undefined means that it has to be written. */
function evaluateChange(
    change: ManifestChange,
    stored: StoredManifest,
    mayBeAccepted: boolean,
): Result<VersionedManifest, ManifestApplyError> | undefined {
    const { current, history } = stored;
    const newest = findNewest(stored);
    if (newest === undefined) {
        // With both rows deleted the base version is the only trace of the versions that processes have seen.
        return undefined;
    }
    const wanted = createVersionedManifest(change);
    if (current?.version === wanted.version && newest.version === wanted.version && current.digest === change.digest) {
        return Ok(current);
    }
    const earlier = history?.accepted.find(accepted => accepted.version === wanted.version);
    if (earlier?.digest === change.digest && newest.version > wanted.version) {
        return mayBeAccepted ? Ok(wanted) : Err(createSuperseded(wanted.version, newest));
    }
    if (newest.version === change.baseVersion) {
        return undefined;
    }
    return Err(current === newest ? createConflict(change.baseVersion, newest) : createDeletedConflict(newest));
}

function findNewest(
    { current, history }: StoredManifest,
): VersionedManifest | ManifestHistory["accepted"][number] | undefined {
    const newestAccepted = history?.accepted[0];
    if (current === undefined || newestAccepted === undefined) {
        return current ?? newestAccepted;
    }
    return current.version >= newestAccepted.version ? current : newestAccepted;
}

function createConflict(baseVersion: number, winner: AcceptedManifestVersion): ManifestApplyError {
    const { version, appliedBy } = winner;
    const message = `Version ${version} by ${appliedBy} is in force, not the base version ${baseVersion}; `
        + `show version ${version}, merge the change into it, and apply with that base version`;
    return new ManifestApplyError("conflict", message, { version, appliedBy });
}

function createDeletedConflict(winner: AcceptedManifestVersion): ManifestApplyError {
    const { version, appliedBy } = winner;
    const message = `The document of version ${version} by ${appliedBy} is not in the table any more; `
        + `apply with base version ${version}, so that versions go on rising`;
    return new ManifestApplyError("conflict", message, { version, appliedBy });
}

function createSuperseded(wanted: number, winner: AcceptedManifestVersion): ManifestApplyError {
    const { version, appliedBy } = winner;
    const message = `This manifest was accepted as version ${wanted}, and version ${version} by ${appliedBy} has `
        + `replaced it; show version ${version}, and apply on it what is missing`;
    return new ManifestApplyError("superseded", message, { version, appliedBy });
}
