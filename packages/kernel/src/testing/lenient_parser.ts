/**
 * Makes the runtime hand over fields with names that its own parser may refuse, so that a test does
 * not depend on the parser's version.
 */

import * as http from "node:http";

type FieldReader = (this: http.IncomingMessage, rawFields: string[], count: number) => void;

interface MessageInternals {
  _addHeaderLines: FieldReader;
}

/**
 * Renames fields of all messages that this process reads, of heads and of trailers.
 *
 * @param names New names, by the name that was sent.
 * @returns Ends the renaming.
 */
export function renameFields(names: Readonly<Record<string, string>>): () => void {
  const internals = http.IncomingMessage.prototype as unknown as MessageInternals;
  const original = internals._addHeaderLines;
  internals._addHeaderLines = function (rawFields, count) {
    for (let index = 0; index < rawFields.length; index += 2) {
      const name = rawFields[index] ?? "";
      rawFields[index] = names[name] ?? name;
    }
    original.call(this, rawFields, count);
  };
  return () => internals._addHeaderLines = original;
}
