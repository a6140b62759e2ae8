/**
 * Locates fields in the text of a document.
 */

import * as jsonc from "jsonc-parser";

/** Tokens that are read in one step; other work may run between two steps. */
const TOKENS_PER_STEP = 512;

// The library exports its token kinds as a const enum, which isolated modules cannot use.
const OPEN_BRACE = 1;
const CLOSE_BRACE = 2;
const OPEN_BRACKET = 3;
const CLOSE_BRACKET = 4;
const COMMA = 5;
const COLON = 6;
const END_OF_TEXT = 17;

interface Container {
  readonly kind: "object" | "array";
  /** Name of the property or index of the element that is being read. */
  current: string | number;
  /** In an object: whether the next string is a property's name. */
  expectsName: boolean;
}

/**
 * Finds the offset of the value at each path, or of the closest enclosing value that exists.
 *
 * Runs in short steps. The text must be valid JSON with comments.
 */
export function* findOffsetsInSteps(
  text: string,
  paths: readonly (readonly PropertyKey[])[],
): Generator<void, Map<readonly PropertyKey[], number>> {
  const found = new Map<string, number>();
  const wanted = new Set(paths.flatMap(listPrefixes));
  const scanner = jsonc.createScanner(text, true);
  const stack: Container[] = [];
  let count = 0;
  for (;;) {
    const token: number = scanner.scan();
    if (token === END_OF_TEXT) {
      break;
    }
    readToken(scanner, token, stack, (path, offset) => {
      if (wanted.has(path) && !found.has(path)) {
        found.set(path, offset);
      }
    });
    count++;
    if (count % TOKENS_PER_STEP === 0) {
      yield;
    }
  }
  const offsets = new Map<readonly PropertyKey[], number>();
  for (const path of paths) {
    const existing = listPrefixes(path).findLast((prefix) => found.has(prefix));
    offsets.set(path, existing === undefined ? 0 : found.get(existing) ?? 0);
  }
  return offsets;
}

function readToken(
  scanner: jsonc.JSONScanner,
  token: number,
  stack: Container[],
  foundValue: (path: string, offset: number) => void,
): void {
  const container = stack.at(-1);
  switch (token) {
    case CLOSE_BRACE:
    case CLOSE_BRACKET:
      stack.pop();
      return;
    case COLON:
      return;
    case COMMA:
      advance(container);
      return;
    default:
  }
  if (container?.kind === "object" && container.expectsName) {
    container.current = scanner.getTokenValue();
    container.expectsName = false;
    return;
  }
  foundValue(getKey(stack.map((entry) => entry.current)), scanner.getTokenOffset());
  if (token === OPEN_BRACE) {
    stack.push({ kind: "object", current: "", expectsName: true });
  } else if (token === OPEN_BRACKET) {
    stack.push({ kind: "array", current: 0, expectsName: false });
  }
}

function advance(container: Container | undefined): void {
  if (container?.kind === "object") {
    container.expectsName = true;
  } else if (container !== undefined && typeof container.current === "number") {
    container.current++;
  }
}

function listPrefixes(path: readonly PropertyKey[]): string[] {
  const prefixes: string[] = [];
  for (let length = 0; length <= path.length; length++) {
    prefixes.push(getKey(path.slice(0, length)));
  }
  return prefixes;
}

function getKey(path: readonly PropertyKey[]): string {
  return JSON.stringify(path);
}
