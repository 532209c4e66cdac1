import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { FormerRoutes } from "../entry/formerRoutes.js";
import type { Route } from "../model/dispatchConfiguration.js";

const host = "jobs.example";

let former = new FormerRoutes();
let versions: readonly (readonly Route[])[] = [];

function createRoutes(version: number, count: number): readonly Route[] {
    return Array.from({ length: count }, (_, index) => ({
        name: `route-${version}-${index}`,
        host,
        pathPrefix: `/${version}/${index}/`,
        service: "service-a",
        priority: 0,
        maximumAttempts: 1,
        stretch: 1,
        allowanceMilliseconds: 0,
    }));
}

function isFormer({ name, pathPrefix }: Route): boolean {
    return former.list(host, `${pathPrefix}0000000000000001`).some(route => route.name === name);
}

Given(
    "{int} versions of the configuration, each with {int} routes of its own",
    (count: number, routes: number) => {
        former = new FormerRoutes();
        versions = Array.from({ length: count }, (_, index) => createRoutes(index + 1, routes));
        versions.forEach((routesOfVersion, index) => former.replace(versions[index - 1] ?? [], routesOfVersion));
    },
);

When("the routes of version {int} are in force again", (version: number) => {
    former.replace(versions.at(-1) ?? [], versions[version - 1] ?? []);
});

Then(
    "the routes of versions {int} to {int} are former ones, and those of versions {int} and {int} are not",
    (first: number, last: number, other: number, further: number) => {
        // The first and the last route of a version stand for all of them.
        const sample = (version: number): readonly Route[] => {
            const routes = versions[version - 1] ?? [];
            return [...routes.slice(0, 1), ...routes.slice(-1)];
        };
        for (let version = first; version <= last; version += 1) {
            assert.ok(sample(version).every(isFormer), `version ${version}`);
        }
        assert.ok([other, further].every(version => !sample(version).some(isFormer)));
    },
);
