/**
 * Checks of the heads and trailers that a peer of a connection has sent.
 *
 * Runtimes differ in what their parsers accept, so what a message must be is checked apart from
 * them. A head whose field has no proper name may state the length of its message in that field,
 * where other parsers find it: neither the rest of the head nor the body can be trusted.
 */

/** Characters of a field's name (RFC 9110, section 5.1). */
const FIELD_NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;

/**
 * Whether each field of a head or of trailers has a proper name.
 *
 * @param rawFields Names and values in turn, as the runtime hands them over.
 */
export function hasFieldNames(rawFields: readonly string[]): boolean {
  for (let index = 0; index < rawFields.length; index += 2) {
    if (!FIELD_NAME.test(rawFields[index] ?? "")) {
      return false;
    }
  }
  return true;
}
