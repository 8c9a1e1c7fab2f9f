import { HTTPParser, type HTTPParserJS } from 'http-parser-js';

/** Members of `HTTPParser` that its type declarations leave out. */
interface ParserInternals {
  readonly state: string;
  readonly consumeLine: () => string | undefined;
}

const FIELD = /^([-!#$%&'*+.^_`|~0-9A-Za-z]+:[\t -~\x80-\xff]*)?$/;

/** Syntax of a line by parser state. The parser itself accepts much malformed input and misinterprets it. */
const LINE_SYNTAX: Readonly<Record<string, RegExp>> = {
  RESPONSE_LINE: /^(HTTP\/1\.[01] [1-9]\d\d( |$)|$)/,
  HEADER: FIELD,
  BODY_CHUNKHEAD: /^[0-9A-Fa-f]{1,8}[ \t]*(;|$)/,
  BODY_CHUNKTRAILERS: FIELD,
};

// The default, ASCII, corrupts bytes above 0x7f in request ids and other header values.
HTTPParser.encoding = 'latin1';

/**
 * Creates a parser of HTTP/1.1 responses that throws at a malformed line, such as one made of parts of two
 * responses.
 */
export function createResponseParser(): HTTPParserJS {
  const parser = new HTTPParser('RESPONSE');
  const internals = parser as unknown as ParserInternals;
  const consumeLine = internals.consumeLine.bind(parser);
  const readLine = (): string | undefined => {
    const line = consumeLine();
    if (line !== undefined && LINE_SYNTAX[internals.state]?.test(line) === false)
      throw new Error('malformed line');
    return line;
  };
  return Object.assign(parser, { consumeLine: readLine });
}
