/**
 * Guards against statuses that a parser may hand over although no final response has them.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";

test.test("a status that no final response has is accepted, or another refused", () => {
  for (let status = 0; status < 1_000; status++) {
    assert.equal(kernel.isFinalStatus(status), status >= 200 && status < 600, `${status}`);
  }
});
