/**
 * Tests of what a VM knows of the sizes of responses: requests start ahead behind a response that may
 * break off after it has begun, or never behind a route that once had a long one.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as testing from "@hemlockwalk/kernel/testing";
import * as proxy from "@hemlockwalk/proxy";

test.describe("the sizes of responses", () => {
  test.test("a response whose length is not known is taken for a short one", () => {
    const sizes = new proxy.ResponseSizes();
    assert.equal(sizes.isShort("reads"), false);
    sizes.recordShort("reads");
    assert.equal(sizes.isShort("reads"), true);
    assert.equal(sizes.isShort("exports"), false);
  });

  test.test("a short response hides that others of its route are long, or a long one for ever", async () => {
    const clock = new testing.TestClock();
    try {
      const sizes = new proxy.ResponseSizes();
      sizes.recordShort("reads");
      sizes.recordLong("reads");
      sizes.recordShort("reads");
      assert.equal(sizes.isShort("reads"), false);
      await clock.advance(599_000);
      sizes.recordShort("reads");
      assert.equal(sizes.isShort("reads"), false);
      await clock.advance(2_000);
      assert.equal(sizes.isShort("reads"), true);
    } finally {
      clock.restore();
    }
  });

  test.test("routes that are gone use memory for ever", () => {
    const sizes = new proxy.ResponseSizes();
    for (let route = 0; route < 30_000; route++) {
      sizes.recordShort(`${route}`);
    }
    const remembered = Array.from({ length: 30_000 }, (_, route) => sizes.isShort(`${route}`));
    assert.equal(remembered.filter(Boolean).length, 20_000);
    assert.equal(sizes.isShort("0"), false, "one that is forgotten counts as unknown");
  });
});
