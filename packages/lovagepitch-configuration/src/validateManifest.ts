/**
 * Validation of a manifest.
 */
import type { KindManifest, Manifest, ServiceManifest } from "@lovagepitch/types/manifest";
import type { Result } from "@lovagepitch/utils/result";
import type { ConfigurationError } from "./configurationError.js";
import type { SchemaIssue } from "./describeSchemaIssues.js";
import type { DocumentPath } from "./documentPath.js";
import { manifestSchema } from "./manifestSchema.js";
import { validateDocument } from "./validateDocument.js";

/**
 * Validates a manifest's structure, its references and the uniqueness of its names.
 *
 * @param value - any JSON value
 * @returns the manifest, or an error that lists its issues with path and remedy
 */
export function validateManifest(value: unknown): Result<Manifest, ConfigurationError> {
    return validateDocument<Manifest>(value, manifestSchema, findManifestIssues);
}

/**
 * Finds duplicate names and references to undeclared zones and teams.
 *
 * @param manifest - manifest that satisfies its schema
 * @returns the issues; empty when there are none
 */
export function findManifestIssues(manifest: Manifest): readonly SchemaIssue[] {
    const zones = new Set(manifest.availabilityZones);
    const teams = new Set(manifest.teams.map(team => team.name));
    return [
        ...findRepeatedNames(manifest.availabilityZones, index => ["availabilityZones", index]),
        ...findRepeatedNames(manifest.teams.map(team => team.name), index => ["teams", index, "name"]),
        ...findRepeatedNames(manifest.services.map(service => service.name), index => ["services", index, "name"]),
        ...manifest.services.flatMap((service, index) => findServiceIssues(service, ["services", index], zones, teams)),
    ];
}

function findServiceIssues(
    service: ServiceManifest,
    path: DocumentPath,
    zones: ReadonlySet<string>,
    teams: ReadonlySet<string>,
): readonly SchemaIssue[] {
    const names = service.kinds.map(kind => kind.name);
    return [
        ...findRepeatedNames(names, index => [...path, "kinds", index, "name"]),
        ...service.kinds.flatMap((kind, index) => findKindIssues(kind, [...path, "kinds", index], zones, teams)),
    ];
}

function findKindIssues(
    kind: KindManifest,
    path: DocumentPath,
    zones: ReadonlySet<string>,
    teams: ReadonlySet<string>,
): readonly SchemaIssue[] {
    const zonesPath = [...path, "availabilityZones"];
    const teamsPath = [...path, "teams"];
    return [
        ...findRepeatedNames(kind.availabilityZones, index => [...zonesPath, index]),
        ...findRepeatedNames(kind.teams ?? [], index => [...teamsPath, index]),
        ...findUndeclared(kind.availabilityZones, zones, zonesPath, "availability zone", "availabilityZones"),
        ...findUndeclared(kind.teams ?? [], teams, teamsPath, "team", "teams"),
    ];
}

function findRepeatedNames(
    names: readonly string[],
    createPath: (index: number) => DocumentPath,
): readonly SchemaIssue[] {
    const seen = new Set<string>();
    const issues: SchemaIssue[] = [];
    names.forEach((name, index) => {
        if (seen.has(name)) {
            issues.push({
                path: createPath(index),
                problem: `"${name}" is listed twice`,
                remedy: "remove or rename one of them",
            });
        }
        seen.add(name);
    });
    return issues;
}

function findUndeclared(
    names: readonly string[],
    declared: ReadonlySet<string>,
    path: DocumentPath,
    noun: string,
    list: string,
): readonly SchemaIssue[] {
    const issues: SchemaIssue[] = [];
    names.forEach((name, index) => {
        if (!declared.has(name)) {
            issues.push({
                path: [...path, index],
                problem: `${noun} "${name}" is not declared`,
                remedy: `add it to "${list}" or remove it here`,
            });
        }
    });
    return issues;
}
