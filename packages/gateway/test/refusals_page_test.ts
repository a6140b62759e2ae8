/**
 * The operators' page of refusals lists exactly what the code has.
 */

import assert from "node:assert/strict";
import * as fs from "node:fs";
import * as test from "node:test";
import * as gateway from "../src/mod.ts";

const PAGE = new URL("../../../../docs/operators/refusals.md", import.meta.url);

test.describe("page of refusals", () => {
  test.it("lists each reason with its status, and no other", () => {
    const text = fs.readFileSync(PAGE, "utf8");
    const listed = [...text.matchAll(/^\| `([a-z_]+)` +\| (\d{3}) +\|/gm)].map((match) =>
      `${match[1]} ${match[2]}`
    );
    const expected = Object.values(gateway.Refusals).map((row) => `${row.reason} ${row.status}`);
    assert.deepEqual(listed.sort(), expected.sort());
  });
});
