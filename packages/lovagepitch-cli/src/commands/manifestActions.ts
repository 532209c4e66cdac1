/**
 * The actions of `lovagepitch manifest`: validate, diff, apply and show.
 */
import { describeManifestChange, diffManifests } from "@lovagepitch/configuration/diffManifests";
import { digestManifest } from "@lovagepitch/configuration/digestManifest";
import { loadManifest } from "@lovagepitch/configuration/loadManifest";
import type { Manifest, VersionedManifest } from "@lovagepitch/types/manifest";
import { Err, Ok, type Result } from "@lovagepitch/utils/result";
import type { CommandEnvironment } from "../commandEnvironment.js";
import { CommandFailure, exitCodes } from "../exitCode.js";
import { loadFile, loadSettingsFile } from "../loadFile.js";
import type { ManifestStore } from "../manifestStore.js";

const jsonIndentSpaces = 4;

/** Options common to all actions. */
export interface ManifestActionOptions {
    readonly json: boolean;
}

/** Options of `diff`; exactly one of `settings` and `against` is set. */
export interface ManifestDiffOptions extends ManifestActionOptions {
    readonly settings?: string;
    readonly against?: string;
}

/** Options of `apply`. */
export interface ManifestApplyOptions extends ManifestActionOptions {
    readonly settings: string;
    readonly base: number;
    readonly appliedBy?: string;
}

/** Options of `show`. */
export interface ManifestShowOptions extends ManifestActionOptions {
    readonly settings: string;
}

/**
 * Validates a manifest file and prints a summary with its digest.
 *
 * @param environment - access to files and the terminal
 * @param fileName - name of the manifest file; `-` reads standard input
 * @param options - selects text or JSON output
 * @returns nothing on success, or the failure
 */
export async function validateManifestFile(
    environment: CommandEnvironment,
    fileName: string,
    options: ManifestActionOptions,
): Promise<Result<void, CommandFailure>> {
    const manifest = await loadFile(environment, fileName, loadManifest);
    return manifest.map(valid => {
        const digest = digestManifest(valid);
        const kinds = valid.services.reduce((sum, service) => sum + service.kinds.length, 0);
        const summary = `${fileName}: valid; ${valid.availabilityZones.length} availability zones, `
            + `${valid.teams.length} teams, ${valid.services.length} services, ${kinds} kinds; digest ${digest}`;
        environment.writeLine(options.json ? JSON.stringify({ valid: true, digest }) : summary);
    });
}

/**
 * Prints the differences between a manifest file and the accepted manifest or another file.
 *
 * @param environment - access to files, the terminal and the platform
 * @param fileName - name of the new manifest's file; `-` reads standard input
 * @param options - the baseline, and text or JSON output
 * @returns nothing on success, or the failure
 */
export async function diffManifestFile(
    environment: CommandEnvironment,
    fileName: string,
    options: ManifestDiffOptions,
): Promise<Result<void, CommandFailure>> {
    const after = await loadFile(environment, fileName, loadManifest);
    if (after.err) {
        return after;
    }
    const before = await readBaseline(environment, options);
    return before.map(({ version, manifest }) => {
        const changes = diffManifests(manifest, after.val);
        if (options.json) {
            environment.writeLine(JSON.stringify({ ...(version === undefined ? {} : { version }), changes }));
            return;
        }
        if (version !== undefined) {
            environment.writeLine(`compared with version ${version}`);
        }
        changes.forEach(change => environment.writeLine(describeManifestChange(change)));
        environment.writeLine(changes.length === 1 ? "1 change" : `${changes.length} changes`);
    });
}

/**
 * Submits a manifest file to the platform as the next accepted version.
 *
 * @param environment - access to files, the terminal and the platform
 * @param fileName - name of the manifest file; `-` reads standard input
 * @param options - base version, name of the operator, and text or JSON output
 * @returns nothing on success, or the failure
 */
export async function applyManifestFile(
    environment: CommandEnvironment,
    fileName: string,
    options: ManifestApplyOptions,
): Promise<Result<void, CommandFailure>> {
    if (!Number.isSafeInteger(options.base) || options.base < 0) {
        const message = "--base must be an integer of 0 or more; lovagepitch manifest show prints the current version";
        return Err(new CommandFailure(exitCodes.usage, message));
    }
    const appliedBy = options.appliedBy ?? environment.userName;
    if (appliedBy === undefined || appliedBy === "") {
        return Err(
            new CommandFailure(exitCodes.usage, "The name of the operator is not known; pass --applied-by NAME"),
        );
    }
    const manifest = await loadFile(environment, fileName, loadManifest);
    if (manifest.err) {
        return manifest;
    }
    const store = await openStore(environment, options.settings);
    if (store.err) {
        return store;
    }
    const digest = digestManifest(manifest.val);
    const accepted = await store.val.apply({
        baseVersion: options.base,
        manifest: manifest.val,
        digest,
        appliedBy,
    });
    return accepted.map(({ version }) => {
        const summary = `accepted as version ${version}; "lovagepitch status" shows where it is in force`;
        environment.writeLine(options.json ? JSON.stringify({ version, digest, appliedBy }) : summary);
    });
}

/**
 * Prints the newest accepted manifest and its version.
 *
 * @param environment - access to files, the terminal and the platform
 * @param options - the operator's settings file, and text or JSON output
 * @returns nothing on success, or the failure
 */
export async function showManifest(
    environment: CommandEnvironment,
    options: ManifestShowOptions,
): Promise<Result<void, CommandFailure>> {
    const current = await readAcceptedManifest(environment, options.settings);
    if (current.err) {
        return current;
    }
    if (current.val === undefined) {
        const message = "No manifest has been accepted yet; apply the first one with --base 0";
        return Err(new CommandFailure(exitCodes.refused, message));
    }
    if (options.json) {
        environment.writeLine(JSON.stringify(current.val));
        return Ok(undefined);
    }
    const { version, appliedBy, digest, manifest } = current.val;
    environment.writeLine(`// version ${version}, applied by ${appliedBy}, digest ${digest}`);
    environment.writeLine(JSON.stringify(manifest, undefined, jsonIndentSpaces));
    return Ok(undefined);
}

interface Baseline {
    /** Absent when the baseline is a file. */
    readonly version?: number;
    readonly manifest: Manifest | undefined;
}

async function readBaseline(
    environment: CommandEnvironment,
    options: ManifestDiffOptions,
): Promise<Result<Baseline, CommandFailure>> {
    if (options.against !== undefined) {
        const manifest = await loadFile(environment, options.against, loadManifest);
        return manifest.map(valid => ({ manifest: valid }));
    }
    if (options.settings === undefined) {
        const message = "The manifest to compare with is missing; pass --settings FILE or --against FILE";
        return Err(new CommandFailure(exitCodes.usage, message));
    }
    const current = await readAcceptedManifest(environment, options.settings);
    return current.map(accepted => ({ version: accepted?.version ?? 0, manifest: accepted?.manifest }));
}

async function readAcceptedManifest(
    environment: CommandEnvironment,
    settingsFile: string,
): Promise<Result<VersionedManifest | undefined, CommandFailure>> {
    const store = await openStore(environment, settingsFile);
    return store.err ? store : store.val.read();
}

async function openStore(
    environment: CommandEnvironment,
    settingsFile: string,
): Promise<Result<ManifestStore, CommandFailure>> {
    const settings = await loadSettingsFile(environment, settingsFile);
    return settings.map(valid => environment.openManifestStore(valid));
}
