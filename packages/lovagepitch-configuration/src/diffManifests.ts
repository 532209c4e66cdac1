/**
 * Differences between two manifests, for review.
 */
import type { JsonValue } from "@lovagepitch/types/job";
import type { KindManifest, Manifest, ServiceManifest, TeamManifest } from "@lovagepitch/types/manifest";
import { toCanonicalJson } from "@lovagepitch/utils/digest";

/** Type of the changed entity; the name of a kind is `service/kind`. */
export type ManifestSubject = "availability zone" | "team" | "service" | "kind";

/** One difference between two manifests. */
export type ManifestChange =
    | {
        readonly change: "added" | "removed";
        readonly subject: ManifestSubject;
        readonly name: string;
        readonly fields: { readonly [field: string]: JsonValue };
    }
    | {
        readonly change: "changed";
        readonly subject: ManifestSubject;
        readonly name: string;
        readonly field: string;
        /** Absent when the field was added. */
        readonly before?: JsonValue;
        /** Absent when the field was removed. */
        readonly after?: JsonValue;
    };

interface Entity {
    readonly subject: ManifestSubject;
    readonly name: string;
    readonly fields: { readonly [field: string]: JsonValue };
}

/**
 * Compares two manifests by the names of their entities; the order of zones, teams, services and kinds does not
 * matter.
 *
 * @param before - the older manifest, undefined when there is none
 * @param after - the newer manifest
 * @returns the changes; empty when the manifests are equivalent
 */
export function diffManifests(before: Manifest | undefined, after: Manifest): readonly ManifestChange[] {
    const oldEntities = indexEntities(before);
    const newEntities = indexEntities(after);
    const changes: ManifestChange[] = [];
    for (const [key, entity] of oldEntities) {
        const replacement = newEntities.get(key);
        if (replacement === undefined) {
            changes.push({ change: "removed", ...entity });
        }
        else {
            changes.push(...diffFields(entity, replacement));
        }
    }
    for (const [key, entity] of newEntities) {
        if (!oldEntities.has(key)) {
            changes.push({ change: "added", ...entity });
        }
    }
    return changes;
}

/**
 * Formats a change as one line.
 *
 * @param change - difference that `diffManifests` returned
 * @returns a line that starts with `+` for added, `-` for removed or `~` for changed
 */
export function describeManifestChange(change: ManifestChange): string {
    const title = `${change.subject} ${change.name}`;
    if (change.change === "changed") {
        return `~ ${title}: ${change.field}: ${formatValue(change.before)} -> ${formatValue(change.after)}`;
    }
    const fields = Object.entries(change.fields).map(([name, value]) => `${name} ${formatValue(value)}`);
    const details = fields.length === 0 ? "" : ` (${fields.join(", ")})`;
    return `${change.change === "added" ? "+" : "-"} ${title}${details}`;
}

function formatValue(value: JsonValue | undefined): string {
    return value === undefined ? "(absent)" : JSON.stringify(value);
}

function diffFields(before: Entity, after: Entity): readonly ManifestChange[] {
    const names = new Set([...Object.keys(before.fields), ...Object.keys(after.fields)]);
    const changes: ManifestChange[] = [];
    for (const field of names) {
        const oldValue = before.fields[field];
        const newValue = after.fields[field];
        if (toCanonicalJson(oldValue) !== toCanonicalJson(newValue)) {
            changes.push({
                change: "changed",
                subject: before.subject,
                name: before.name,
                field,
                ...(oldValue === undefined ? {} : { before: oldValue }),
                ...(newValue === undefined ? {} : { after: newValue }),
            });
        }
    }
    return changes;
}

function indexEntities(manifest: Manifest | undefined): ReadonlyMap<string, Entity> {
    if (manifest === undefined) {
        return new Map();
    }
    const entities = [
        ...manifest.availabilityZones.map(createZone),
        ...manifest.teams.map(createTeam),
        ...manifest.services.flatMap(createService),
    ];
    return new Map(entities.map(entity => [`${entity.subject} ${entity.name}`, entity]));
}

function createZone(name: string): Entity {
    return { subject: "availability zone", name, fields: {} };
}

function createTeam(team: TeamManifest): Entity {
    return { subject: "team", name: team.name, fields: { ...team.quota } };
}

function createService(service: ServiceManifest): readonly Entity[] {
    return [
        { subject: "service", name: service.name, fields: {} },
        ...service.kinds.map(kind => createKind(service.name, kind)),
    ];
}

function createKind(service: string, kind: KindManifest): Entity {
    const { name, teams, ...fields } = kind;
    return {
        subject: "kind",
        name: `${service}/${name}`,
        fields: { ...fields, ...(teams === undefined ? {} : { teams }) },
    };
}
