/**
 * Guards against fields that a parser may hand over although no message has them.
 */

import * as assert from "node:assert/strict";
import * as test from "node:test";
import * as kernel from "@hemlockwalk/kernel";
import * as fastCheck from "fast-check";

/** The characters of a token besides digits and letters, as RFC 9110, section 5.6.2, lists them. */
const TOKEN_MARKS = "!#$%&'*+-.^_`|~";

function isTokenCharacter(character: string): boolean {
  return TOKEN_MARKS.includes(character) || /^[0-9A-Za-z]$/.test(character);
}

test.describe("fields of a message", () => {
  test.test("a name with a character that no name has is accepted, or a proper one refused", () => {
    for (let code = 0; code < 256; code++) {
      const character = String.fromCharCode(code);
      for (const name of [character, `X${character}`, `${character}X`, `X${character}Part`]) {
        const isProper = isTokenCharacter(character);
        assert.equal(kernel.hasFieldNames([name, "value"]), isProper, JSON.stringify(name));
      }
    }
  });

  test.test("an empty name, or one with a line break, is accepted", () => {
    for (const name of ["", "X\n", "X\r\n", "\nX", "Content Length", "Content-Length "]) {
      assert.equal(kernel.hasFieldNames([name, "1"]), false, JSON.stringify(name));
    }
    assert.equal(kernel.hasFieldNames([]), true);
  });

  test.test("a name in any place of the head is overlooked, or a value is taken for one", () => {
    const name = fastCheck.string({ minLength: 1 }).filter((text) =>
      [...text].every(isTokenCharacter)
    );
    const fields = fastCheck.array(fastCheck.tuple(name, fastCheck.string()));
    fastCheck.assert(
      fastCheck.property(fields, fields, fastCheck.string(), (before, after, value) => {
        assert.ok(kernel.hasFieldNames([...before, ...after].flat()));
        const malformed = [...before, ["X Part", value], ...after].flat();
        assert.equal(kernel.hasFieldNames(malformed), false);
      }),
      { seed: 60, numRuns: 200 },
    );
  });
});
