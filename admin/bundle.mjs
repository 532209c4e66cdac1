// Bundles the entry and the agent of the users' platform into target/, with a code cache so that they start quickly.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";

/** Programs by name. */
const programs = { "lovagepitch-entry": "platform/src/runEntry.ts", "lovagepitch-agent": "platform/src/runAgent.ts" };

/** Resolves imports of workspace packages to their sources, so that no other build step is needed first. */
const workspaceSources = {
    name: "workspace-sources",
    setup(context) {
        context.onResolve({ filter: /^@lovagepitch\/(types|utils|direct)\// }, argument => {
            const [, name, ...rest] = argument.path.split("/");
            return context.resolve(`./packages/lovagepitch-${name}/src/${rest.join("/")}.ts`, {
                kind: argument.kind,
                resolveDir: process.cwd(),
            });
        });
    },
};

/** Contents of packages in the bundle, where only some parts are used or the main file cannot be bundled. */
const packageParts = {
    // Without the push gateway, process metrics, clusters and summaries, which load several times as much.
    "prom-client": `
        export { default as Registry } from "prom-client/lib/registry.js";
        export { default as Counter } from "prom-client/lib/counter.js";
        export { default as Gauge } from "prom-client/lib/gauge.js";
        export { default as Histogram } from "prom-client/lib/histogram.js";
    `,
    // The main files of these packages load their modules by names that a bundler cannot resolve.
    "ts-results": "import * as results from \"ts-results/esm/index.js\"; export default results;",
    "jsonc-parser": "export * from \"jsonc-parser/lib/esm/main.js\";",
};

/** Replaces these packages by their parts. */
const bundledParts = {
    name: "bundled-parts",
    setup(context) {
        const filter = new RegExp(`^(${Object.keys(packageParts).join("|")})$`);
        context.onResolve({ filter }, argument => ({ path: argument.path, namespace: "bundled-parts" }));
        context.onLoad({ filter: /.*/, namespace: "bundled-parts" }, argument => {
            return { contents: packageParts[argument.path], resolveDir: process.cwd() };
        });
    },
};

/**
 * Finds the options of Node.js with which a program is run. A code cache is valid only for the same options.
 *
 * @param {string} program - name of the program
 * @returns {readonly string[]} options
 */
function findRunOptions(program) {
    const pattern = new RegExp(`^run = "node (.*) target/${program}\\.mjs"$`, "m");
    return pattern.exec(readFileSync("deploy/system.toml", "utf8"))?.[1]?.split(" ") ?? [];
}

await build({
    entryPoints: programs,
    outdir: "target",
    outExtension: { ".js": ".bundle.cjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    plugins: [workspaceSources, bundledParts],
    minifyWhitespace: true,
    minifySyntax: true,
    legalComments: "none",
    logLevel: "warning",
});
for (const program of Object.keys(programs)) {
    writeFileSync(`target/${program}.mjs`, readFileSync("admin/startProgram.mjs", "utf8"));
    execFileSync(process.execPath, [...findRunOptions(program), "admin/createCodeCache.mjs", `target/${program}`]);
}
