/**
 * The configuration in force, and catching up with a newer one.
 */
import type { PeerAddress } from "@lovagepitch/types/identity";
import type { VersionedManifest } from "@lovagepitch/types/manifest";
import type { TickContext } from "./tickContext.js";

/** Time for a peer to send its manifest before the platform's table is read, in milliseconds. */
const peerAnswerMilliseconds = 300;
/** Pause between readings of the platform's table while this agent is behind, in milliseconds. */
const readPauseMilliseconds = 5_000;
/** Pause between readings while there is no manifest at all, in milliseconds. */
const firstReadPauseMilliseconds = 1_000;

/**
 * Puts a manifest in force unless it is older than the present one.
 *
 * @param context - the tick
 * @param manifest - an accepted manifest
 */
export function adoptManifest(context: TickContext, manifest: VersionedManifest): void {
    const { tables } = context;
    if (manifest.version <= tables.configurationVersion) {
        return;
    }
    tables.manifest = manifest;
    context.decide("configured", `version ${manifest.version}, digest ${manifest.digest}`);
}

/**
 * Asks a peer for its manifest when it has a newer one.
 *
 * @param context - the tick
 * @param sender - the peer
 * @param version - configuration version in force at the peer
 */
export function noticeVersion(context: TickContext, sender: PeerAddress, version: number): void {
    const { configuration, configurationVersion } = context.tables;
    if (version <= configurationVersion) {
        return;
    }
    const isAsked = configuration.newestSeen >= version
        && context.now < configuration.requestedAtMilliseconds + peerAnswerMilliseconds;
    if (isAsked) {
        return;
    }
    context.tables.configuration = {
        newestSeen: Math.max(version, configuration.newestSeen),
        requestedAtMilliseconds: context.now,
        readAtMilliseconds: configuration.readAtMilliseconds ?? context.now + peerAnswerMilliseconds,
    };
    context.send(sender, { type: "requestManifest" });
}

/**
 * Reads the platform's table while there is no manifest, and when no peer has sent a newer one.
 *
 * @param context - the tick
 */
export function catchUpConfiguration(context: TickContext): void {
    const { configuration, configurationVersion } = context.tables;
    if (configurationVersion > 0 && configuration.newestSeen <= configurationVersion) {
        context.tables.configuration = { ...configuration, readAtMilliseconds: undefined };
        return;
    }
    const pause = configurationVersion === 0 ? firstReadPauseMilliseconds : readPauseMilliseconds;
    // The process reads the table when it starts, so the first repetition comes after a pause.
    let readAtMilliseconds = configuration.readAtMilliseconds ?? context.now + pause;
    if (readAtMilliseconds <= context.now) {
        context.outputs.push({ type: "readManifest" });
        readAtMilliseconds = context.now + pause;
    }
    context.tables.configuration = { ...configuration, readAtMilliseconds };
    context.wakeAt(readAtMilliseconds);
}
