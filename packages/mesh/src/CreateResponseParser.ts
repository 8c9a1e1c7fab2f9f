import { HTTPParser, type HTTPParserJS } from 'http-parser-js';

/** Parts of the parser that its types leave out. */
interface LineReader {
  readonly state: string;
  readonly consumeLine: () => string | undefined;
}

const FIELD = /^([-!#$%&'*+.^_`|~0-9A-Za-z]+:[\t -~\x80-\xff]*)?$/;

/** What a line must look like, by state of the parser, which itself takes much that is none of this for something else. */
const LINES: Readonly<Record<string, RegExp>> = {
  RESPONSE_LINE: /^(HTTP\/1\.[01] [1-9]\d\d( |$)|$)/,
  HEADER: FIELD,
  BODY_CHUNKHEAD: /^[0-9A-Fa-f]{1,8}[ \t]*(;|$)/,
  BODY_CHUNKTRAILERS: FIELD,
};

// Its own choice, ASCII, changes ids and other values.
HTTPParser.encoding = 'latin1';

/** Creates a parser of HTTP/1.1 answers that fails at a malformed line, such as one from two answers. */
export function createResponseParser(): HTTPParserJS {
  const parser = new HTTPParser('RESPONSE');
  const reader = parser as unknown as LineReader;
  const consumeLine = reader.consumeLine.bind(parser);
  const readLine = (): string | undefined => {
    const line = consumeLine();
    if (line !== undefined && LINES[reader.state]?.test(line) === false) throw new Error('malformed line');
    return line;
  };
  return Object.assign(parser, { consumeLine: readLine });
}
