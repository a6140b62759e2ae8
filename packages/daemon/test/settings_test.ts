/**
 * The `check-settings` command, on the documentation's examples and on an invalid file.
 */

import assert from "node:assert/strict";
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import process from "node:process";
import * as test from "node:test";
import * as url from "node:url";

const BINARY = url.fileURLToPath(new URL("../src/main.js", import.meta.url));

const EXAMPLES = url.fileURLToPath(new URL("../../../../docs/examples/", import.meta.url));

const WRONG = `{
  "vm": "VM 1", // an upper-case letter and a space
  "dataCentre": "north-1",
  "listener": { "address": "localhost:80", "drainLag": 1 },
  "admin": { "address": "127.0.0.1:9100" },
  "platform": { "addresses": [] }
}
`;

function checkSettings(file: string): childProcess.SpawnSyncReturns<string> {
  return childProcess.spawnSync(process.execPath, [BINARY, "check-settings", file], {
    encoding: "utf8",
  });
}

test.describe("check-settings", () => {
  test.it("accepts the examples", () => {
    const files = fs.readdirSync(EXAMPLES).filter((name) => name.endsWith(".jsonc"));
    assert.ok(files.length >= 2);
    for (const name of files) {
      const result = checkSettings(path.join(EXAMPLES, name));
      assert.equal(result.status, 0, result.stderr);
    }
  });

  test.it("reports all findings at once with file, line and column", (context) => {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "hemlockwalk-settings-"));
    context.after(() => fs.rmSync(folder, { recursive: true }));
    const file = path.join(folder, "wrong.jsonc");
    fs.writeFileSync(file, WRONG);
    const result = checkSettings(file);
    assert.equal(result.status, 2);
    const places = result.stderr.trim().split("\n").map((line) => {
      assert.ok(line.startsWith(`${file}:`), line);
      return /:(\d+:\d+) - HW1003 ([^:]+):/.exec(line)?.slice(1).join(" ");
    });
    assert.deepEqual(
      places.sort(),
      [
        "2:9 vm",
        "4:28 listener.address",
        "4:56 listener.drainLag",
        "6:30 platform.addresses",
      ].sort(),
    );
  });
});
