import { Left, Right, type Either } from 'purify-ts';

interface Decoder {
  readonly decode: (value: unknown) => Either<string, unknown>;
}

/** Decodes a JSON array with one decoder for each item. The error names the index of the faulty item. */
export function decodeTuple<T>(text: string, decoders: readonly Decoder[]): Either<string, T> {
  return parse(text).chain((items) => {
    for (const [index, decoder] of decoders.entries()) {
      const result = decoder.decode(items[index]);
      if (result.isLeft()) return Left(`item ${index}: ${result.extract()}`);
    }
    return Right(items as unknown as T);
  });
}

function parse(text: string): Either<string, readonly unknown[]> {
  try {
    const value: unknown = JSON.parse(text);
    return Array.isArray(value) ? Right(value) : Left('not an array');
  } catch (err) {
    return Left(`not JSON: ${String(err)}`);
  }
}
