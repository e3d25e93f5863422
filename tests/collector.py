"""OTLP/HTTP collector of spans that runs in a thread."""

import gzip
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from opentelemetry.proto.collector.trace.v1.trace_service_pb2 import (
    ExportTraceServiceRequest,
)


class Collector:
    """Stores the spans that are sent to it."""

    def __init__(self):
        self.spans = []
        collector = self

        class Handler(BaseHTTPRequestHandler):
            def do_POST(self):
                body = self.rfile.read(int(self.headers["Content-Length"]))
                if self.headers.get("Content-Encoding") == "gzip":
                    body = gzip.decompress(body)
                collector.add_spans(body)
                self.send_response(200)
                self.end_headers()

            def log_message(self, *arguments):
                return None

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def url(self):
        host, port = self._server.server_address
        return f"http://{host}:{port}"

    def add_spans(self, body):
        request = ExportTraceServiceRequest.FromString(body)
        for resource in request.resource_spans:
            for scope in resource.scope_spans:
                self.spans.extend(scope.spans)

    def list_spans(self, trace_id):
        return [span for span in self.spans if span.trace_id.hex() == trace_id]

    def close(self):
        self._server.shutdown()
        self._server.server_close()
