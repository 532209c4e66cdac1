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
 * Reads the platform's table when no peer has sent the newer manifest.
 *
 * @param context - the tick
 */
export function catchUpConfiguration(context: TickContext): void {
    const { configuration, configurationVersion } = context.tables;
    if (configuration.readAtMilliseconds === undefined) {
        return;
    }
    if (configuration.newestSeen <= configurationVersion) {
        context.tables.configuration = { ...configuration, readAtMilliseconds: undefined };
        return;
    }
    if (configuration.readAtMilliseconds <= context.now) {
        context.outputs.push({ type: "readManifest" });
        const readAtMilliseconds = context.now + readPauseMilliseconds;
        context.tables.configuration = { ...configuration, readAtMilliseconds };
    }
    context.wakeAt(context.tables.configuration.readAtMilliseconds);
}
