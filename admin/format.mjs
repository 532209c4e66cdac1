// Formats every TypeScript and JavaScript file with dprint's TypeScript plugin, which works offline.
import { createFromBuffer } from "@dprint/formatter";
import { getPath } from "@dprint/typescript";
import { execFileSync } from "node:child_process";
import { existsSync, readFileSync, writeFileSync } from "node:fs";

const checkOnly = process.argv.includes("--check");
const formatter = createFromBuffer(readFileSync(getPath()));
formatter.setConfig({ indentWidth: 4, lineWidth: 120, useTabs: false }, {
    "quoteStyle": "alwaysDouble",
    "useBraces": "always",
    "nextControlFlowPosition": "nextLine",
    "arrowFunction.useParentheses": "preferNone",
    "module.sortImportDeclarations": "caseInsensitive",
});
const listing = execFileSync("git", ["ls-files", "--cached", "--others", "--exclude-standard"], { encoding: "utf8" });
const files = listing.split("\n").filter(file => /\.(ts|mjs)$/.test(file) && existsSync(file));
let changed = 0;
for (const filePath of files) {
    const fileText = readFileSync(filePath, "utf8");
    const formatted = formatter.formatText({ filePath, fileText });
    if (formatted === fileText) {
        continue;
    }
    changed += 1;
    if (checkOnly) {
        console.error(`${filePath}: not formatted; run "npm run format"`);
    }
    else {
        writeFileSync(filePath, formatted);
    }
}
console.log(`format: ${files.length} files, ${changed} ${checkOnly ? "to format" : "formatted"}`);
process.exitCode = checkOnly && changed > 0 ? 1 : 0;
