/**
 * The secret that all VMs of a fleet share, by which they authenticate each other.
 */

import * as fs from "node:fs/promises";
import * as neverthrow from "neverthrow";

/** Shorter secrets could be guessed from a recorded proof. */
export const MIN_SECRET_CHARACTERS = 32;

/** The secret in use and, during a rotation, the previous or next one. */
const MAX_SECRETS = 2;

/** Source of the secrets of a VM. */
export interface PeerSecretSource {
  /**
   * Reads one or two secrets. A VM creates proofs with the first one and accepts proofs with both.
   *
   * @returns The secrets, or a sentence that explains why there are none.
   */
  read(): Promise<neverthrow.Result<readonly string[], string>>;
}

/** Reads the secrets from a file with one on each line. The file is read for each handshake. */
export class FilePeerSecrets implements PeerSecretSource {
  readonly #file: string;

  constructor(file: string) {
    this.#file = file;
  }

  async read(): Promise<neverthrow.Result<readonly string[], string>> {
    let text: string;
    try {
      text = await fs.readFile(this.#file, "utf8");
    } catch (error) {
      return neverthrow.err((error as Error).message);
    }
    return parseSecrets(text);
  }
}

/** Parses the text of a secret file. */
export function parseSecrets(text: string): neverthrow.Result<readonly string[], string> {
  const secrets = text.split("\n").map((line) => line.trim()).filter((line) => line !== "");
  if (secrets.length === 0 || secrets.length > MAX_SECRETS) {
    return neverthrow.err(`The file holds ${secrets.length} secrets instead of 1 or 2.`);
  }
  if (secrets.some((secret) => secret.length < MIN_SECRET_CHARACTERS)) {
    return neverthrow.err(`A secret has fewer than ${MIN_SECRET_CHARACTERS} characters.`);
  }
  return neverthrow.ok(secrets);
}
