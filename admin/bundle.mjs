// Bundles the two programs of the users' platform into target/, from the sources; one file starts faster than many.
import { build } from "esbuild";

/** Resolves imports of the workspace's packages to their sources, so that no other build has to run before. */
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

/** Loads undici's connections without its fetch, caches and mocks, which take half of the time to load it. */
const undiciParts = {
    name: "undici-parts",
    setup(context) {
        context.onResolve({ filter: /^undici$/ }, () => ({ path: "connections", namespace: "undici-parts" }));
        context.onLoad({ filter: /.*/, namespace: "undici-parts" }, () => ({
            contents: `
                import Dispatcher from "undici/lib/dispatcher/dispatcher.js";
                import api from "undici/lib/api/index.js";
                Object.assign(Dispatcher.prototype, api);
                export { default as Client } from "undici/lib/dispatcher/client.js";
                export { default as Pool } from "undici/lib/dispatcher/pool.js";
            `,
            resolveDir: process.cwd(),
        }));
    },
};

await build({
    entryPoints: { "lovagepitch-entry": "platform/src/runEntry.ts", "lovagepitch-agent": "platform/src/runAgent.ts" },
    outdir: "target",
    outExtension: { ".js": ".mjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    // Packages in CommonJS call require.
    banner: { js: "import { createRequire } from \"node:module\"; const require = createRequire(import.meta.url);" },
    // Their UMD wrappers load their parts by names that a bundler cannot see.
    external: ["ts-results", "jsonc-parser"],
    plugins: [workspaceSources, undiciParts],
    minifyWhitespace: true,
    minifySyntax: true,
    legalComments: "none",
    logLevel: "warning",
});
