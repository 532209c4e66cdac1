// Starts a bundled program with its code cache. The bundle copies this file into target/, under the name of the program.
import { readFileSync } from "node:fs";
import { createRequire } from "node:module";
import { fileURLToPath } from "node:url";
import { Script } from "node:vm";

const filename = fileURLToPath(import.meta.url).replace(/\.mjs$/, ".bundle.cjs");
let cachedData;
try {
    cachedData = readFileSync(`${filename}.cache`);
}
catch {
    // Without a cache the program is compiled, which only takes longer; the same applies if V8 rejects the cache.
}
const source = `(function (require, module, exports) {${readFileSync(filename, "latin1")}\n})`;
const module = { exports: {} };
const script = new Script(source, { filename, cachedData });
if (script.cachedDataRejected === true) {
    process.emitWarning(
        "the code cache was created with other options of Node.js; build with the options of the deploy file",
    );
}
script.runInThisContext()(createRequire(import.meta.url), module, module.exports);
