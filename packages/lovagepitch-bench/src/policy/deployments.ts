/**
 * The two deployments that the bench simulates.
 */
import {
    associationLatencies,
    cooperativeLatencies,
    createAgentPlacement,
    defaultDeployment,
    type DeploymentSettings,
} from "@lovagepitch/testing/harness/deploymentSettings";
import type { Manifest } from "@lovagepitch/types/manifest";

/** Number of workers in each deployment. */
export const workerCount = 10;
/** Number of slots of each worker. */
export const slotsPerWorker = 8;
const workersPerRack = 3;
const service = "alerts";
const kind = "check";

/** Settings of a simulated deployment and its manifest. */
export interface BenchDeployment {
    readonly name: string;
    readonly settings: DeploymentSettings;
    readonly manifest: Manifest;
    readonly service: string;
    readonly kind: string;
    readonly teams: readonly string[];
}

/** Ids are requested before a run and must remain valid until its end. */
const windowMilliseconds = 3_600_000;

/** Default values of the settings' schemas. */
const measuredDeployment: DeploymentSettings = {
    ...defaultDeployment,
    resubmissionWindowMilliseconds: windowMilliseconds,
    standByLimit: 3,
    policy: { startOrder: "shortest-remaining", bids: 2, maximumEjectedShare: 0.5 },
};

/** Deployment of the co-operative, with three availability zones. */
export const cooperative = createDeployment("co-operative", ["kolonnawa", "dehiwala", "maharagama"], {
    ...measuredDeployment,
    latencies: cooperativeLatencies,
});

/** Deployment of the association, with four availability zones. */
export const association = createDeployment("association", ["ikeja", "victoria-island", "lekki", "apapa"], {
    ...measuredDeployment,
    latencies: associationLatencies,
});

function createDeployment(name: string, zones: readonly string[], base: DeploymentSettings): BenchDeployment {
    const teams = ["team-1", "team-2", "team-3"];
    const agents = Array.from({ length: workerCount }, (_unused, position) => {
        const zone = zones[position % zones.length]!;
        return createAgentPlacement(`worker-${position}`, `rack-${Math.floor(position / workersPerRack)}`, zone);
    });
    return {
        name,
        settings: { ...base, entries: zones.map(availabilityZone => ({ availabilityZone })), agents },
        manifest: createManifest(zones, teams),
        service,
        kind,
        teams,
    };
}

function createManifest(availabilityZones: readonly string[], teams: readonly string[]): Manifest {
    const quota = { guaranteedSlots: 24, maximumWaitingTasks: 100_000 };
    return {
        availabilityZones,
        teams: teams.map(name => ({ name, quota })),
        services: [{
            name: service,
            kinds: [{
                name: kind,
                availabilityZones,
                maximumCores: 16,
                maximumMemoryMegabytes: 32_768,
                maximumDeadlineMilliseconds: 120_000,
                taskTimeoutMilliseconds: 60_000,
            }],
        }],
    };
}
