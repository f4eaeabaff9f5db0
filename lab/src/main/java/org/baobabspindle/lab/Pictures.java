package org.baobabspindle.lab;

import java.io.IOException;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Draws results. */
final class Pictures {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 500;

    private Pictures() {}

    /** A named distribution of times in milliseconds. */
    record Bar(String name, Histogram millis) {}

    /** Draws each distribution as a line over its percentiles. */
    static void percentiles(String file, List<Bar> bars) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title("Time to the first token")
                .xAxisTitle("percentile")
                .yAxisTitle("ms")
                .build();
        chart.getStyler().setMarkerSize(0);
        double[] percentiles = new double[100];
        for (int i = 0; i < percentiles.length; i++) {
            percentiles[i] = i;
        }
        for (Bar b : bars) {
            double[] values = new double[percentiles.length];
            for (int i = 0; i < values.length; i++) {
                values[i] = b.millis().getValueAtPercentile(percentiles[i]);
            }
            chart.addSeries(b.name(), percentiles, values);
        }
        BitmapEncoder.saveBitmap(chart, file, BitmapEncoder.BitmapFormat.PNG);
    }
}
